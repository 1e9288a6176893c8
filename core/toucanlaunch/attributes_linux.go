package toucanlaunch

import "syscall"

// attributes makes the kernel kill the process when its starter dies, which
// covers a test that panics or exceeds its time and runs no cleanup.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
