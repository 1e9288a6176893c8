package toucantransport

import (
	"net"

	"golang.org/x/sys/unix"
)

// States of a connection in the kernel's tcp_info, which the unix package does not name.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// stateOf returns the state of a connection whose end of the stream was read.
func stateOf(c net.Conn) connState {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return unknownState
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return unknownState
	}
	state := unknownState
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpCloseWait:
			state = peerClosed
		case info.State == tcpClose:
			state = dead
		}
	})
	if err != nil {
		return unknownState
	}
	return state
}
