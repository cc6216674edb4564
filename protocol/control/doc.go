// Package control carries the calls between the system's own processes, as frames
// whose bodies are messages of coordination/message.
package control
