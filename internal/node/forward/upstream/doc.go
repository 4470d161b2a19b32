// Package upstream carries requests to brokers over kept connections.
//
// It stands on net.Conn and http.ReadResponse. http.Transport is not used, because it repeats requests by itself: a GET
// that a server read and did not answer went out a second time (see TestKeptConnectionClosedAfterReading). Here each call
// of Conn.Send writes a request at most once, and each failure says whether the request may have run.
//
// What brokers do is described in PROTOCOL.md, "Brokers": connections are few and new ones dear, idle ones are closed after
// the time that Keep-Alive gives, and late or surplus answers may stand where the next one is due.
package upstream
