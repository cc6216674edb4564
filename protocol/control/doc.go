// Package control carries the calls between the system's own processes, as frames
// whose bodies are CBOR encodings of Go values: messages of coordination/message and,
// for Step, Register and PutDocument, values of quorum, plan and cluster.
package control
