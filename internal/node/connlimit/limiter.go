package connlimit

import (
	"container/list"
	"io"
	"sync"
	"time"
)

// State is what a connection does.
type State uint8

// The states of a connection.
const (
	Silent        State = iota // nothing of a request has arrived
	ReceivingHead              // a part of a head has arrived
	ReceivingBody              // a head has arrived, and its body has not
	Serving                    // a complete request is being served
	Idle                       // a request was answered
)

// class is a group of connections that give way alike; lower ones go first.
type class uint8

const (
	classSilent class = iota
	classHead
	classIdleUnserved
	classBody
	classIdleServed
	classServing // never gives way
	classCount
)

// How long a connection must have been in its class to give way: ordinary clients are through sooner.
const (
	minSilentTime       = 250 * time.Millisecond
	minHeadTime         = time.Second
	minIdleUnservedTime = 250 * time.Millisecond
	minBodyTime         = 2 * time.Second
)

// retryInterval is the time between two attempts to make room while no connection may give way.
const retryInterval = 50 * time.Millisecond

// Limiter bounds the connections of one server. It is safe for concurrent use.
type Limiter struct {
	max       int
	reuseTime func() time.Duration
	now       func() time.Time

	mutex   sync.Mutex
	open    int
	evicted uint64
	classes [classCount]list.List // of *Conn, in the order in which they entered the class
	room    chan struct{}         // has an element when a place may have become free
}

// New returns a Limiter for max connections, at least one. reuseTime returns how long clients that were served may leave a connection idle
// and still use it.
func New(limit int, reuseTime func() time.Duration) *Limiter {
	return &Limiter{max: max(limit, 1), reuseTime: reuseTime, now: time.Now, room: make(chan struct{}, 1)}
}

// Conn is an admitted connection.
type Conn struct {
	limiter *Limiter
	closer  io.Closer
	element *list.Element // nil once it is released
	class   class
	since   time.Time // when it entered its class
	served  bool
}

// tryReserve takes a place, if need be by closing a connection.
func (l *Limiter) tryReserve() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.max && !l.evict() {
		return false
	}
	l.open++
	return true
}

// cancelReservation gives a place back that no connection has taken.
func (l *Limiter) cancelReservation() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// add puts a connection in a place that was reserved.
func (l *Limiter) add(closer io.Closer) *Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := &Conn{limiter: l, closer: closer}
	c.enter(classSilent)
	return c
}

// evict closes the connection that gives way first. It reports false where none may. The mutex must be held.
func (l *Limiter) evict() bool {
	for group := classSilent; group < classServing; group++ {
		if l.evictFrom(group, l.minTime(group)) {
			return true
		}
	}
	return false
}

// evictFrom closes the longest member of a class, if it has been one for long enough. The mutex must be held.
func (l *Limiter) evictFrom(group class, minTime time.Duration) bool {
	front := l.classes[group].Front()
	if front == nil {
		return false
	}
	c := front.Value.(*Conn)
	if l.now().Sub(c.since) < minTime {
		return false
	}
	l.evicted++
	c.remove()
	_ = c.closer.Close()
	return true
}

// minTime is how long a connection must have been in a class to give way.
func (l *Limiter) minTime(group class) time.Duration {
	switch group {
	case classSilent:
		return minSilentTime
	case classHead:
		return minHeadTime
	case classIdleUnserved:
		return minIdleUnservedTime
	case classBody:
		return minBodyTime
	default:
		return l.reuseTime()
	}
}

// EvictHead closes the connection of the Limiter whose head has been incomplete for longest, to free the memory that it takes up. It
// reports false where all of them have begun only just now.
func (c *Conn) EvictHead() bool {
	l := c.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.evictFrom(classHead, minSilentTime)
}

// Counts returns how many connections are open, and how many had to give way so far.
func (l *Limiter) Counts() (open int, evicted uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open, l.evicted
}

// SetState records what the connection does from now on. A state that it is in already does not begin anew.
func (c *Conn) SetState(state State) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if next := c.classOf(state); c.element != nil && next != c.class {
		c.limiter.classes[c.class].Remove(c.element)
		c.enter(next)
	}
}

// MarkServed records that the client was let through to a service: it is an ordinary one.
func (c *Conn) MarkServed() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.served = true
}

// Release gives the place back. Further calls do nothing.
func (c *Conn) Release() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	if c.element != nil {
		c.remove()
	}
}

// classOf returns the class of a state. The mutex must be held.
func (c *Conn) classOf(state State) class {
	switch state {
	case Silent:
		return classSilent
	case ReceivingHead:
		return classHead
	case ReceivingBody:
		return classBody
	case Serving:
		return classServing
	default:
		if c.served {
			return classIdleServed
		}
		return classIdleUnserved
	}
}

// enter puts the connection at the end of a class. The mutex must be held.
func (c *Conn) enter(group class) {
	c.class, c.since = group, c.limiter.now()
	c.element = c.limiter.classes[group].PushBack(c)
}

// remove takes the connection out of its class and gives its place back. The mutex must be held.
func (c *Conn) remove() {
	l := c.limiter
	l.classes[c.class].Remove(c.element)
	c.element = nil
	l.open--
	select {
	case l.room <- struct{}{}:
	default:
	}
}
