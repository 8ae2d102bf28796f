// Package valid checks what was read from a YAML file by the rules in its
// fields' tags.
package valid

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Check returns an error for every key whose value breaks its rule, each with
// the file, the key, the value and the rule.
func Check(file string, read any) []error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	err := v.Struct(read)
	if err == nil {
		return nil
	}
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return []error{err}
	}
	var all []error
	for _, b := range broken {
		_, key, _ := strings.Cut(b.Namespace(), ".")
		all = append(all, fmt.Errorf("%s: %s: \"%v\" breaks the rule %s %s", file, key, b.Value(), b.Tag(), b.Param()))
	}
	return all
}
