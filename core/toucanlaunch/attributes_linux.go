package toucanlaunch

import "syscall"

// sysProcAttr makes the kernel kill the process when its parent dies, because a
// test that panics or times out runs no cleanup.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
