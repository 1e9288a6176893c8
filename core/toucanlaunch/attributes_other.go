//go:build !linux

package toucanlaunch

import "syscall"

func attributes() *syscall.SysProcAttr { return nil }
