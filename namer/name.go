// Package namer validates the names of configured objects.
package namer

import "regexp"

// Rule is the error text that describes the names accepted by Valid.
const Rule = "must be 1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

var pattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Valid reports whether name is a valid object name.
func Valid(name string) bool { return pattern.MatchString(name) }
