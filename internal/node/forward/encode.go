package forward

import (
	"time"

	"kestrelspread/internal/node/core"
)

// appendHead appends the head of the request to the broker.
func (a *attempt) appendHead(head []byte, now core.Time) []byte {
	c := a.call
	r := c.request
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.RequestURI...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = appendHeader(head, "Host", r.Host)
	head = c.appendClientHeaders(head, a.resumeAfter.set)
	head = appendHeader(head, headerRequestID, c.intake.id)
	head = appendNumberHeader(head, headerDeadline, max(int64((c.intake.deadline-now)/time.Millisecond), 1))
	head = a.appendOwnHeaders(head)
	if length := len(c.bodyBytes()); length > 0 || r.ContentLength != 0 || r.Header["Content-Length"] != nil {
		head = appendNumberHeader(head, "Content-Length", int64(length))
	}
	return append(head, "\r\n"...)
}

// appendClientHeaders appends the client's headers, except for hop-by-hop ones and those that this
// proxy sets itself. resumes: the client's Last-Event-Id is replaced as well.
func (c *call) appendClientHeaders(head []byte, resumes bool) []byte {
	named := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if isHopByHop(name) || isReplaced(name) || contains(named, name) || resumes && name == headerLastEventID {
			continue
		}
		for _, value := range values {
			head = appendHeader(head, name, value)
		}
	}
	return head
}

// appendOwnHeaders appends the headers that this proxy sets for the broker.
func (a *attempt) appendOwnHeaders(head []byte) []byte {
	planned, in := a.planned, &a.call.intake
	head = appendHeader(head, headerExpectInstance, planned.Instance.ID)
	if in.tenant != nil {
		head = appendHeader(head, headerTenant, in.tenant.Name)
	}
	if planned.ExpectVersion != 0 {
		head = appendNumberHeader(head, headerExpectVersion, int64(planned.ExpectVersion))
	}
	if planned.Salt != "" {
		head = appendHeader(head, headerSalt, planned.Salt)
	}
	if planned.FetchFrom != "" {
		head = appendHeader(head, headerFetch, planned.FetchFrom)
	}
	if planned.SaveTo != "" {
		head = appendHeader(head, headerSave, planned.SaveTo)
	}
	if service := in.compiled.Services[in.service]; service != nil && service.Engine != nil {
		head = appendNumberHeader(head, headerPriority, int64(planned.Priority))
	}
	if a.resumeAfter.set {
		head = appendNumberHeader(head, headerLastEventID, a.resumeAfter.number)
	}
	return head
}
