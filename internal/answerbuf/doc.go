// Package answerbuf buffers answers of endpoints within a part of the process's memory.
package answerbuf
