package disk

import (
	"fmt"
	"os"
	"syscall"
)

// lockFile opens the file, creating it if it doesn't exist, and holds an exclusive lock
// on it until it is closed. It doesn't wait for the lock.
func lockFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("lock not acquired, another process may hold it: %w", err)
	}
	return f, nil
}
