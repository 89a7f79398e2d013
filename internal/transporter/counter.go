package transporter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	readBytes  = metrics.NewCounter("papayaseam_read_bytes_total")
	wroteBytes = metrics.NewCounter("papayaseam_wrote_bytes_total")
)

// counted counts the bytes of a connection.
type counted struct{ net.Conn }

func (c counted) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	readBytes.Add(n)
	return n, err
}

func (c counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	wroteBytes.Add(n)
	return n, err
}

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: boundUnacknowledged}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return counted{conn}, nil
}

type countedListener struct{ net.Listener }

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{conn}, nil
}
