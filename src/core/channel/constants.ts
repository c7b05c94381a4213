/** Protocol name in the Upgrade header of a connection between nodes. */
export const protocolName = 'dogwoodspring-channel'

/** Path at which a connection between nodes is opened on the peer listener. */
export const channelPath = '/.dogwoodspring/channel'

/** Header with the id of the session that a connection belongs to. */
export const sessionHeader = 'x-dogwoodspring-session'

/** Header with the number of frames of the session that the sender of the header has received. */
export const receivedHeader = 'x-dogwoodspring-received'

/** Header that is `true` if the session begins with this connection. */
export const freshHeader = 'x-dogwoodspring-fresh'

/** Time within which a connection must open, in milliseconds. */
export const connectTimeoutMs = 400

/** Delay between failed attempts to open a connection, in milliseconds. It starts at the first value and doubles up to the last. */
export const firstRedialMs = 50
export const lastRedialMs = 1000

/**
 * Time after which received frames are acknowledged if no other frame carries the acknowledgement, in milliseconds. The accepting
 * side is soon, because the dialer opens another session for new calls when its own frames stay unacknowledged; the other side
 * only keeps its frames until then.
 */
export const acceptorAcknowledgeMs = 100
export const dialerAcknowledgeMs = 1500

/** Received bytes that are acknowledged at once. */
export const acknowledgeBytes = 32 * 1024

/** Age of the oldest unacknowledged frame at which new streams use another session, in milliseconds. */
export const stalledMs = 300

/** Time without received data after which a connection with open streams is probed, in milliseconds. */
export const probeMs = 300

/** Time without an answer to a probe after which a new connection is opened, in milliseconds. */
export const probeAnswerMs = 400

/** Interval between checks for silent connections, in milliseconds. */
export const silenceCheckMs = 100

/** Time that a session waits for its dialer to reconnect before its streams are notified that the dialer is disconnected, in milliseconds. */
export const disconnectGraceMs = 400

/** Time that a session without a connection keeps the frames that its dialer has not received, in milliseconds. */
export const sessionRetentionMs = 12_000

/** Time for which a connection whose session has ended stays open for the other side to read what was sent last, in milliseconds. */
export const endGraceMs = 100

/** Maximum number of sessions to one process. Further ones are opened while the first are stalled by lost packets. */
export const maxSessionsPerPeer = 4

/** Bytes that one stream may have in flight in one direction. */
export const windowBytes = 128 * 1024

/** Largest piece of a body in one frame, in bytes. Small frames of other streams can be sent between the pieces. */
export const pieceBytes = 16 * 1024

/** Largest frame, in bytes. */
export const maxFrameBytes = 1024 * 1024
