package connpool

// Settings are set by an operator. Times are in ms.
type Settings struct {
	MaxConnections   int     // to a server, draining ones not counted
	MaxStreams       int     // on a connection; fewer if the peer says so
	MaxWaiting       int     // stream requests that wait at a server
	ConnectTimeout   float64 // from the connect to the peer's SETTINGS
	IdleTimeout      float64 // without a stream
	InitialBackoff   float64 // after a failed connect, doubled for each that follows
	MaxBackoff       float64
	KeepaliveTime    float64 // without a byte received while streams are open, before a ping; 0: no pings
	KeepaliveTimeout float64 // from a ping until the connection is given up
}

const (
	// Backoffs are spread by 20 percent either way, so that instances don't connect in step.
	minJitter   = 0.8
	jitterRange = 0.4
	// maxBackoffDoublings keeps the power of two within range.
	maxBackoffDoublings = 30
)

// Counters count events since the start.
type Counters struct {
	Opened            int64 // connects begun
	ConnectFailed     int64
	Lost              int64 // established connections that broke
	GoAways           int64
	Backoffs          int64 // requests rejected as the server is in backoff
	QueueFull         int64 // requests rejected as too many wait
	NotAccepting      int64 // requests rejected as the server accepts nothing new
	IdleClosed        int64
	Pings             int64
	KeepaliveTimeouts int64
}
