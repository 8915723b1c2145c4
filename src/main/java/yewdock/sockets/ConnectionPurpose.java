package yewdock.sockets;

/** Whom a connection leads to. */
enum ConnectionPurpose { CLIENT, OPERATOR, SERVER, DISCOVERY }
