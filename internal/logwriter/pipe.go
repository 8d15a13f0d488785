package logwriter

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// pipeWriter writes to a pipe without blocking its thread; a write to a full pipe returns EAGAIN.
type pipeWriter struct{ descriptor int }

// Write writes as much as the pipe has room for.
func (w pipeWriter) Write(b []byte) (int, error) {
	n, err := syscall.Write(w.descriptor, b)
	return max(n, 0), err
}

// WithoutBlocking returns a writer to the same file that doesn't block a thread where the file is a pipe. The pipe is opened
// anew for that: the mode of the open one belongs to all processes that have inherited it.
func WithoutBlocking(file *os.File) io.Writer {
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeNamedPipe == 0 {
		return file
	}
	descriptor, err := syscall.Open(fmt.Sprintf("/proc/self/fd/%d", file.Fd()), syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if err != nil {
		return file
	}
	return pipeWriter{descriptor}
}
