//go:build trial

package audit

import (
	"os"
	"path/filepath"
	"syscall"
)

// fullDiskFile fails each write with ENOSPC while a file named "full" exists in the log's folder. It is used in trial
// builds only.
type fullDiskFile struct {
	File
	flag string
}

func trialFile(dir string, f File) File { return fullDiskFile{f, filepath.Join(dir, "full")} }

// Write implements io.Writer.
func (f fullDiskFile) Write(p []byte) (int, error) {
	if _, err := os.Stat(f.flag); err == nil {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}
