package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestMalformedRequestsAreRejected: each by its status, none reaches a server, and the connection of
// a client that was answered goes on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	search := searchBody(0)
	p.expectMalformedRejected(search)
	p.expectOversizedRejected(search)
	p.expectSlowRejected()
	if calls := server.callCount(); calls != 0 {
		t.Error("something was sent to a server")
	}
	p.expectConnectionGoesOn(search)
}

func (p *process) expectMalformedRejected(search string) {
	p.t.Helper()
	withHeader := func(id, class, budget string) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, class, budget, len(search), search)
	}
	for raw, status := range map[string]int{
		withHeader("a b", "quick", "100"):                                        400,
		withHeader("", "quick", "100"):                                           400,
		withHeader("a", "strange", "100"):                                        400,
		withHeader("a", "quick", "0"):                                            400,
		withHeader("a", "quick", "-5"):                                           400,
		withHeader("a", "quick", "1e3"):                                          400,
		withHeader("a", "quick", "99999999999"):                                  400,
		searchRequest("quick", 100, "{"):                                         400,
		searchRequest("quick", 100, searchBody(4)):                               400,
		searchRequest("quick", 100, searchBody(0, 0)):                            400,
		searchRequest("quick", 100, searchBody()):                                400,
		searchRequest("quick", 100, strings.Repeat("x", 65<<10)):                 413,
		"POST /api HTTP/1.1\r\n\r\n":                                             411,
		"GET /api HTTP/1.1\r\n\r\n":                                              405,
		"GET /other HTTP/1.1\r\n\r\n":                                            404,
		"\x16\x03\x01 TLS\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000):                      431,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n":        400,
		"POST /api HTTP/1.1\r\nExpect: wonders\r\nContent-Length: 1\r\n\r\n":     417,
		"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
	} {
		if got := p.exchange(raw); got.status != status {
			p.t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
	}
}

// expectOversizedRejected sends more than is read before the error; the error arrives all the same.
func (p *process) expectOversizedRejected(search string) {
	p.t.Helper()
	hidden := "0\r\n\r\n" + searchRequest("quick", 2900, search)
	for raw, status := range map[string]int{
		"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("x", 60000000):                               413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n" + strings.Repeat("x", 20000000):                  413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden: 400,
	} {
		c, got := p.dial(), response{}
		go io.WriteString(c, raw)
		if got = send(c, ""); got.status != status || !got.closes {
			p.t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
		c.Close()
	}
}

// expectSlowRejected sends requests that never become complete: they have a second at least.
func (p *process) expectSlowRejected() {
	p.t.Helper()
	for _, sent := range []string{"", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", "POST /api"} {
		began, c := time.Now(), p.dial()
		if got := send(c, sent); sent != "" && got.status != 408 || sent == "" && got.err == nil {
			p.t.Errorf("%q: %+v", sent, got)
		}
		if took := time.Since(began); took < time.Second {
			p.t.Errorf("%q: let go of after %v", sent, took)
		}
	}
}

// expectConnectionGoesOn sends sound requests in unusual forms behind one that was rejected.
func (p *process) expectConnectionGoesOn(search string) {
	p.t.Helper()
	c := p.dial()
	p.expect(400, send(c, searchRequest("quick", 100, "{}")))
	parts := strings.SplitAfter(searchRequest("quick", 2900, search), "\r\n\r\n")
	if got := p.expect(100, send(c, strings.Replace(parts[0], "\r\n", "\r\nExpect: 100-Continue\r\n", 1))); got.body != "" {
		p.t.Error(got)
	}
	p.expect(200, send(c, parts[1]))
	length := fmt.Sprint("Content-Length: ", len(search))
	for _, piece := range strings.SplitAfter(strings.Replace(parts[0], length, "Transfer-Encoding: chunked", 1), "-") {
		io.WriteString(c, piece)
	}
	p.expect(200, send(c, fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", search[:5], len(search)-5, search[5:])))
}
