package local

import _ "embed"

// Declarations is the configuration of the built-in example: one customer with
// a guarantee, two data centres of one region and one of another.
//
//go:embed example.ini
var Declarations []byte
