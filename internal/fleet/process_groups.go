package fleet

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"syscall"
)

// SystemProcessGroups implements ProcessGroups with the system's process groups.
type SystemProcessGroups struct{}

// Kill sends SIGKILL to a group. The system does not reuse a group's number while a process of the group exists, and the caller
// must know that one existed.
func (SystemProcessGroups) Kill(pgid int) {
	if pgid > 1 {
		syscall.Kill(-pgid, syscall.SIGKILL)
	}
}

// Alive reports whether the group has a process that may still act. A zombie, which waits for its parent, does not count.
func (SystemProcessGroups) Alive(pgid int) bool {
	if err := syscall.Kill(-pgid, 0); errors.Is(err, syscall.ESRCH) {
		return false
	}
	list, err := os.ReadDir("/proc")
	if err != nil {
		return true
	}
	for _, e := range list {
		if _, err := strconv.Atoi(e.Name()); err != nil {
			continue
		}
		raw, err := os.ReadFile("/proc/" + e.Name() + "/stat")
		if err != nil {
			continue // the process has ended in the meantime
		}
		// The name may contain any character and ends at the last bracket; after it come state, parent and group.
		f := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
		if len(f) > 2 && string(f[2]) == strconv.Itoa(pgid) && string(f[0]) != "Z" && string(f[0]) != "X" {
			return true
		}
	}
	return false
}
