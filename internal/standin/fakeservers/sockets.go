// Package sockets is stand-ins on loopback for what a broker speaks with, written from PROTOCOL and gRPC's public pages:
// discovery, servers of frames and of gRPC, and clients of both kinds. How servers behave can be changed while they run.
package fakeservers

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/metadata"
)

// Raw passes messages of gRPC as bytes: *[]byte.
type Raw struct{}

// Marshal implements encoding.Codec: v is a *[]byte, whose bytes go as they are.
func (Raw) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }

// Unmarshal implements encoding.Codec: v is a *[]byte, which takes a copy.
func (Raw) Unmarshal(b []byte, v any) error {
	*v.(*[]byte) = append((*v.(*[]byte))[:0], b...)
	return nil
}

// Name implements encoding.Codec; peers take the bytes for protocol buffers.
func (Raw) Name() string { return "proto" }

var _ encoding.Codec = Raw{}

// Behaviour is how a server takes its time; it may be changed while the server runs.
type Behaviour struct {
	Median float64 // ms; answers spread log-normally round it
	Spread float64
	Times  atomic.Int64 // slower by so many times; 0: as ever
	Silent atomic.Bool  // it takes what comes and says nothing
	Calls  atomic.Int64
	Seen   func(id string) (done func(how string)) // a sub-request came; done when its answer goes out, with its word
	// Work, where it is set, takes a sub-request in place of a mere wait, and gives the word of its answer: OK, ERROR,
	// REJECTED; none: it stays silent.
	Work func(ctx context.Context, id string, shard int) string
}

// wait takes the time of one answer; false: it stays silent until the context ends.
func (b *Behaviour) wait(ctx context.Context) bool {
	b.Calls.Add(1)
	ms := b.Median * math.Exp(b.Spread*rand.NormFloat64()) * float64(max(b.Times.Load(), 1))
	if b.Median > 0 {
		t := time.NewTimer(time.Duration(ms * 1e6))
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	if b.Silent.Load() {
		<-ctx.Done()
		return false
	}
	return true
}

// Value is what a server of frames makes of a part: the same at each holder.
func Value(shard int, text string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", shard, text)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Frames is a server of frames.
type Frames struct {
	Behaviour
	net.Listener
	lock  sync.Mutex
	conns map[net.Conn]bool
}

// StartFrames listens on loopback.
func StartFrames(median, spread float64) (*Frames, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Frames{Listener: l, conns: map[net.Conn]bool{}}
	f.Median, f.Spread = median, spread
	go f.accept(l)
	return f, nil
}

func (f *Frames) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.lock.Lock()
		f.conns[c] = true
		f.lock.Unlock()
		go f.serve(c)
	}
}

// Die ends it as a killed process ends: its connections are reset, new ones are refused.
func (f *Frames) Die() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.Listener.Close()
	for c := range f.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Rise has it listen where it did before it died.
func (f *Frames) Rise() error {
	l, err := net.Listen("tcp", f.Addr().String())
	if err != nil {
		return err
	}
	f.lock.Lock()
	f.Listener = l
	f.lock.Unlock()
	go f.accept(l)
	return nil
}

func frame(letter byte, rest string) []byte {
	return append(append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest))), letter), rest...)
}

func (f *Frames) serve(c net.Conn) {
	defer func() {
		c.Close()
		f.lock.Lock()
		delete(f.conns, c)
		f.lock.Unlock()
	}()
	all, end := context.WithCancel(context.Background())
	defer end()
	var lock sync.Mutex
	off := map[string]context.CancelFunc{}
	write := func(b []byte) {
		lock.Lock()
		defer lock.Unlock()
		c.Write(b)
	}
	for r := bufio.NewReader(c); ; {
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		b := make([]byte, binary.LittleEndian.Uint32(head[:]))
		if _, err := io.ReadFull(r, b); err != nil || len(b) == 0 {
			return
		}
		switch b[0] {
		case 'G':
			write(frame('G', "OK"))
		case 'T':
			write(frame('T', "inflight=0"))
		case 'A':
			lock.Lock()
			if stop := off[string(b[1:])]; stop != nil {
				stop()
			}
			lock.Unlock()
		case 'R':
			for rest := string(b[1:]); rest != ""; {
				line, after, _ := strings.Cut(rest, "\n")
				var id string
				var shard, length int
				var wait float64
				fmt.Sscanf(line, "%s %d d=%g %d", &id, &shard, &wait, &length)
				text := after[:length]
				rest = after[length:]
				ctx, stop := context.WithCancel(all)
				lock.Lock()
				off[id] = stop
				lock.Unlock()
				var done func(how string)
				if f.Seen != nil {
					done = f.Seen(id)
				}
				go func() {
					how := ""
					if f.Work != nil {
						f.Calls.Add(1)
						how = f.Work(ctx, id, shard)
					} else if f.wait(ctx) {
						how = "OK"
					}
					if how != "" && done != nil {
						done(how)
					}
					switch how {
					case "":
					case "OK":
						write(frame('Y', id+" OK 0 -\n"+Value(shard, text)))
					default:
						write(frame('Y', id+" "+how+" 0 -\n"))
					}
					lock.Lock()
					delete(off, id)
					lock.Unlock()
					stop()
				}()
			}
		}
	}
}

// GRPC is a server of gRPC that answers every unary call with its own message, and streams message by message.
type GRPC struct {
	Behaviour
	net.Listener
	Server *grpc.Server
}

// StartGRPC listens on loopback.
func StartGRPC(median, spread float64) (*GRPC, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &GRPC{Listener: l}
	g.Median, g.Spread = median, spread
	g.Server = grpc.NewServer(grpc.ForceServerCodec(Raw{}), grpc.MaxConcurrentStreams(1<<20),
		grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
			var done func(how string)
			if g.Seen != nil {
				if in, ok := metadata.FromIncomingContext(s.Context()); ok && len(in.Get("x-id")) > 0 {
					done = g.Seen(in.Get("x-id")[0])
				}
			}
			if !g.wait(s.Context()) {
				return s.Context().Err()
			}
			for {
				var b []byte
				if err := s.RecvMsg(&b); err == io.EOF {
					if done != nil {
						done("OK")
					}
					return nil
				} else if err != nil {
					return err
				}
				if err := s.SendMsg(&b); err != nil {
					return err
				}
			}
		}))
	go g.Server.Serve(l)
	return g, nil
}

// Instance is one entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// Discovery tells a list to whoever watches: all of it, whenever it changes.
type Discovery struct {
	net.Listener
	server  *http.Server
	lock    sync.Mutex
	version int
	list    []Instance
	news    chan struct{}
}

// List is the list in discovery's form.
func List(version int, whole bool, list []Instance) string {
	b, _ := json.Marshal(map[string]any{"generation": version, "reset": whole, "instances": list})
	return string(b)
}

// StartDiscovery listens on loopback.
func StartDiscovery(list []Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Listener: l, version: 1, list: list, news: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.watch)}
	go d.server.Serve(l)
	return d, nil
}

// Replace tells another list.
func (d *Discovery) Replace(list []Instance) {
	d.lock.Lock()
	d.list = list
	d.version++
	close(d.news)
	d.news = make(chan struct{})
	d.lock.Unlock()
}

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	for {
		d.lock.Lock()
		line, news := List(d.version, true, d.list), d.news
		d.lock.Unlock()
		io.WriteString(w, line+"\n")
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-news:
				waiting = false
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// Close ends it.
func (d *Discovery) Close() error { return d.server.Close() }
