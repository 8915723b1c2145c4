package yewdock.sockets;

/** The kind of peer at the other end of a connection. */
enum ConnectionPurpose { CLIENT, OPERATOR, SERVER, DISCOVERY }
