//go:build review

// Package plain has the bodies of plain answers, which replicas write and callers check.
package plain

import "strings"

// Body returns the body of the answer to a request: 2,400 bytes in lines that name the request.
func Body(request string) string {
	line := "answer to " + request + strings.Repeat(".", 40)
	return strings.Repeat(line[:39]+"\n", 60)
}
