package yewdock.replication;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import yewdock.wire.Kept;
import yewdock.wire.Part;
import yewdock.wire.Records;

/** Parts of a snapshot: records, compressed. No I/O. */
final class Snapshots {
    /** Records of a part, before compression, take so many bytes, or are one record. */
    static final int PART_BYTES = 256 * 1024;
    /** What a part may say that it takes when it is unpacked. */
    static final int MOST_PLAIN = 2 * PART_BYTES + yewdock.state.ReplicatedRecords.MAX_RECORD_BYTES;
    private static final int LEVEL = 3;

    private Snapshots() {
    }

    static Part.Builder pack(List<Kept> records) {
        byte[] plain = Records.newBuilder().addAllRecords(records).build().toByteArray();
        return Part.newBuilder().setPlainBytes(plain.length)
                .setRecords(ByteString.copyFrom(Zstd.compress(plain, LEVEL)));
    }

    /** The records of a part; a part that claims too much, or other than it holds, is refused unread. */
    static List<Kept> unpack(Part part) throws InvalidProtocolBufferException {
        if (part.getPlainBytes() < 0 || part.getPlainBytes() > MOST_PLAIN) {
            throw new InvalidProtocolBufferException("a part of " + part.getPlainBytes() + " bytes");
        }
        try {
            byte[] plain = Zstd.decompress(part.getRecords().toByteArray(), part.getPlainBytes());
            if (plain.length != part.getPlainBytes()) {
                throw new InvalidProtocolBufferException("a part of another size than it says");
            }
            return Records.parseFrom(plain).getRecordsList();
        } catch (ZstdException e) {
            throw new InvalidProtocolBufferException("a part that can't be unpacked: " + e.getMessage());
        }
    }
}
