package transporter

import (
	"net"
	"sync"
)

// watched tells once when a connection closes.
type watched struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection and tells of it.
func (c *watched) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
