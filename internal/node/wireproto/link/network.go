package link

import (
	"context"
	"fmt"
	"net"
	"sync"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// Network is one node's side of the connections to the others. Its methods are safe for concurrent use.
type Network struct {
	options  Options
	sender   *wireproto.Sender
	dialer   *net.Dialer
	listener net.Listener
	local    *loopback
	counters counters

	// closeContext is canceled by Close; it ends dials and the wait after a failed accept.
	closeContext context.Context
	close        context.CancelFunc
	// goroutines counts the goroutines of the Network.
	goroutines sync.WaitGroup

	// mutex guards the fields below, and those of the peers and of local that say so.
	mutex       sync.Mutex
	closed      bool
	peers       map[string]*peer
	accepted    map[net.Conn]struct{}
	queuedBytes int           // queued or being written, over all peers
	senders     int           // goroutines that write or deliver
	sendersDone chan struct{} // closed when senders falls to 0; nil where nobody waits for that
}

// New listens on options.ListenAddress and starts to receive. Close ends it. The error is of type
// ErrCannotListen or wireproto.ErrUnencodable.
func New(options Options) (*Network, error) {
	options = options.withDefaults()
	configuration := net.ListenConfig{KeepAliveConfig: keepAlive(options)}
	listener, err := configuration.Listen(context.Background(), "tcp4", options.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: on %s: %w", ErrCannotListen, options.ListenAddress, err)
	}
	if options.SelfAddress == "" {
		options.SelfAddress = listener.Addr().String()
	}
	sender, err := wireproto.NewSender(options.SelfID, options.SelfAddress)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	network := &Network{
		options:  options,
		sender:   sender,
		dialer:   dialer(options),
		listener: listener,
		peers:    map[string]*peer{},
		accepted: map[net.Conn]struct{}{},
	}
	network.local = newLoopback(network)
	network.closeContext, network.close = context.WithCancel(context.Background())
	network.goroutines.Add(1)
	go network.accept()
	return network, nil
}

// Address returns the address that the Network listens on.
func (n *Network) Address() string { return n.listener.Addr().String() }

// Send sends the envelope to the node at address, with protocol and sender filled in. It never blocks.
// The envelope is encoded before Send returns, and not modified. A message to the node's own address
// arrives at Options.Receive, on another goroutine.
func (n *Network) Send(address string, envelope *nodepb.Envelope) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return
	}
	if address == n.options.SelfAddress {
		n.local.send(envelope)
		return
	}
	n.peer(address).send(envelope)
}

// Flush waits until everything queued has been written or dropped. It returns ctx's error if ctx ends
// first.
func (n *Network) Flush(ctx context.Context) error {
	n.mutex.Lock()
	if n.senders == 0 {
		n.mutex.Unlock()
		return nil
	}
	if n.sendersDone == nil {
		n.sendersDone = make(chan struct{})
	}
	sent := n.sendersDone
	n.mutex.Unlock()
	select {
	case <-sent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections at once and waits for the goroutines of the Network, and so for calls of
// Options.Receive.
func (n *Network) Close() {
	n.mutex.Lock()
	if !n.closed {
		n.closed = true
		n.close()
		_ = n.listener.Close()
		for connection := range n.accepted {
			_ = connection.Close()
		}
		for _, peer := range n.peers {
			peer.close()
		}
	}
	n.mutex.Unlock()
	n.goroutines.Wait()
}

// startSender runs send on a new goroutine. The mutex must be held.
func (n *Network) startSender(send func()) {
	n.senders++
	n.goroutines.Go(send)
}

// endSender must be called at the end of what startSender started. The mutex must be held.
func (n *Network) endSender() {
	n.senders--
	if n.senders == 0 && n.sendersDone != nil {
		close(n.sendersDone)
		n.sendersDone = nil
	}
}
