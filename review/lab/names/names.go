//go:build review

// Package names has the platform's names, which stand in a data file.
package names

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var data []byte

// Of maps short names to the platform's.
var Of = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	return m
}()
