package catkinrail

import "io"

// Dir is the folder that holds an instance's durable state. Writes are durable
// only once they are synced: a file's contents by File.Sync, its name by Dir.Sync.
type Dir interface {
	// List returns the names of the files in lexical order.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one to zero length.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int64) error
	// Rename renames a file, replacing an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is an open file of a Dir.
type File interface {
	io.WriteCloser
	// Sync makes all earlier writes durable.
	Sync() error
}
