package yewdock.replication;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import yewdock.wire.Kept;
import yewdock.wire.Part;
import yewdock.wire.Records;

/** Compresses records into the parts of a snapshot, and decompresses them. No I/O. */
final class Snapshots {
    /** A part is complete once its records have this many bytes before compression. */
    static final int PART_BYTES = 256 * 1024;
    /** The largest decompressed size that is accepted for a part, in bytes. */
    static final int MAX_PLAIN_BYTES = 2 * PART_BYTES + yewdock.state.ReplicatedRecords.MAX_RECORD_BYTES;
    private static final int COMPRESSION_LEVEL = 3;

    private Snapshots() {
    }

    /** A part with these records; its other fields are not set. */
    static Part.Builder pack(List<Kept> records) {
        byte[] plain = Records.newBuilder().addAllRecords(records).build().toByteArray();
        return Part.newBuilder().setPlainBytes(plain.length)
                .setRecords(ByteString.copyFrom(Zstd.compress(plain, COMPRESSION_LEVEL)));
    }

    /** The records of a part; throws if it claims to be too large, or a size other than the actual one. */
    static List<Kept> unpack(Part part) throws InvalidProtocolBufferException {
        if (part.getPlainBytes() < 0 || part.getPlainBytes() > MAX_PLAIN_BYTES) {
            throw new InvalidProtocolBufferException("invalid size of snapshot part: " + part.getPlainBytes()
                    + " bytes");
        }
        try {
            byte[] plain = Zstd.decompress(part.getRecords().toByteArray(), part.getPlainBytes());
            if (plain.length != part.getPlainBytes()) {
                throw new InvalidProtocolBufferException("snapshot part differs from its declared size");
            }
            return Records.parseFrom(plain).getRecordsList();
        } catch (ZstdException e) {
            throw new InvalidProtocolBufferException("cannot decompress snapshot part: " + e.getMessage());
        }
    }
}
