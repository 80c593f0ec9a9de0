// Package check validates a document before it is published.
//
// # Usage
//
//	err := check.Document(doc)   // lists every fault with its field
package check
