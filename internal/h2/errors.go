package h2

import (
	"errors"
	"fmt"

	"golang.org/x/net/http2"
)

// ConnectionError is a violation that ends the connection (RFC 9113, section 5.4.1).
type ConnectionError struct {
	Code   ErrorCode
	Reason string // goes to the peer as debug data of GOAWAY
}

// Error names the code and the reason.
func (e *ConnectionError) Error() string { return fmt.Sprintf("%v: %s", e.Code, e.Reason) }

func connectionError(code ErrorCode, reason string) error {
	return &ConnectionError{Code: code, Reason: reason}
}

// fail ends the connection: it is told to the peer by a GOAWAY, and nothing is read any more.
func (c *Conn) fail(err error) error {
	c.failure = err
	code, reason := http2.ErrCodeInternal, err.Error()
	var violation *ConnectionError
	if errors.As(err, &violation) {
		code, reason = violation.Code, violation.Reason
	}
	c.framer.WriteGoAway(c.lastPeerStreamID, code, []byte(reason))
	return err
}
