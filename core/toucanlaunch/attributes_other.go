//go:build !linux

package toucanlaunch

import "syscall"

func sysProcAttr() *syscall.SysProcAttr { return nil }
