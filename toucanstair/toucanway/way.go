// Package toucanway measures how long the way to a caller and back takes.
package toucanway

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Measure returns the smoothed time to the other side of a TCP connection and
// back, as the system knows it; 0 means that it does not.
func Measure(c net.Conn) time.Duration {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			d = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return d
}
