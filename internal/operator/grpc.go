package operator

import (
	"net/netip"

	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/grpcproxy"
)

// GRPC is the gRPC front.
type GRPC struct {
	Listen        netip.AddrPort
	ProxySettings *grpcproxy.Settings
}

const bytesPerKB = 1 << 10

// defaultMaxBufferedKB is what all calls together may hold.
const defaultMaxBufferedKB = 16384

func (f *grpcFile) settings(set settings.Values, names *settingNames, found *Findings) *GRPC {
	s := &grpcproxy.Settings{
		Limits:    f.Limits.settings(),
		ConnPool:  f.Channels.settings(),
		Addresses: grpcproxy.Addresses{PortOffset: f.Servers.PortOffset, ByID: map[string]netip.AddrPort{}},
	}
	listen := found.address("/grpc/listen", f.Listen)
	for id, text := range f.Servers.ByID {
		s.Addresses.ByID[id] = found.address("/grpc/servers/by-id/"+id, text)
	}
	if s.ConnPool.InitialBackoff > s.ConnPool.MaxBackoff {
		found.add("/grpc/channels/backoff-ms", "over backoff-most-ms")
	}
	if s.Limits.MaxBufferedBytesPerConnection > s.Limits.MaxBufferedBytes {
		found.add("/grpc/limits/held-per-connection-kb", "over held-kb")
	}
	if s.Limits.StreamWindowBytes > s.Limits.MaxBufferedBytes {
		found.add("/grpc/limits/window-kb", "over held-kb: one stream alone could hold more than all may")
	}
	s.Routes = f.routes(set, names, found)
	return &GRPC{Listen: listen, ProxySettings: s}
}

func (f *limitsFile) settings() grpcproxy.Limits {
	bufferedKB := valueOr(f.Held, defaultMaxBufferedKB)
	return grpcproxy.Limits{
		MaxConnections:                valueOr(f.Connections, 256),
		MaxCallsPerConnection:         valueOr(f.PerConn, 100),
		MaxCalls:                      valueOr(f.Calls, 1000),
		MaxCallsPerCustomer:           valueOr(f.PerCustomer, 0),
		MaxBufferedBytes:              bytesPerKB * bufferedKB,
		MaxBufferedBytesPerConnection: bytesPerKB * valueOr(f.HeldPerConn, bufferedKB),
		StreamWindowBytes:             bytesPerKB * valueOr(f.Window, 64),
		MaxMetadataBytes:              bytesPerKB * valueOr(f.Metadata, 16),
		MaxResetsPerSecond:            valueOr(f.Resets, 100),
		MaxControlFramesPerSecond:     valueOr(f.Controls, 200),
		HandshakeTimeout:              valueOr(f.Handshake, 2000),
		IdleTimeout:                   valueOr(f.Idle, 300e3),
		PartialFrameTimeout:           valueOr(f.Half, 5000),
		WriteTimeout:                  valueOr(f.Stuck, 20e3),
		WriteBufferBytes:              bytesPerKB * valueOr(f.Lag, 64),
	}
}

func (f *channelsFile) settings() connpool.Settings {
	return connpool.Settings{
		MaxConnections:   valueOr(f.Most, 2),
		MaxStreams:       valueOr(f.Streams, 100),
		MaxWaiting:       valueOr(f.Waiting, 100),
		ConnectTimeout:   valueOr(f.Connect, 500),
		IdleTimeout:      valueOr(f.Idle, 60e3),
		InitialBackoff:   valueOr(f.Backoff, 100),
		MaxBackoff:       valueOr(f.BackoffMost, 5000),
		KeepaliveTime:    valueOr(f.Ping, 10e3),
		KeepaliveTimeout: valueOr(f.PingWait, 2000),
	}
}
