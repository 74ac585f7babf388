package daemon

import "golang.org/x/sys/unix"

// socketQueues returns how many received bytes of a connection are unread, and how many sent bytes the other side's kernel
// has not confirmed; -1 for what the kernel does not tell. The end of the sent bytes counts as one.
func socketQueues(conn halfCloser) (unread, unconfirmed int) {
	unread, unconfirmed = -1, -1
	raw, err := conn.SyscallConn()
	if err != nil {
		return unread, unconfirmed
	}
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unconfirmed = n
		}
	})
	return unread, unconfirmed
}
