// Package check says what is wrong with a document before it is published.
//
// # Usage
//
//	err := check.Document(doc)   // every fault, each with its field
package check
