// Package valid checks values read from a YAML file against the validation rules in
// their struct tags.
package valid

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Check returns one error for each key whose value breaks its rule; it names the
// file, the key, the value and the rule.
func Check(file string, read any) []error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	err := v.Struct(read)
	if err == nil {
		return nil
	}
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return []error{err}
	}
	var all []error
	for _, fieldErr := range fieldErrs {
		_, key, _ := strings.Cut(fieldErr.Namespace(), ".")
		all = append(all, fmt.Errorf("%s: %s: \"%v\" breaks the rule %s %s", file, key, fieldErr.Value(), fieldErr.Tag(), fieldErr.Param()))
	}
	return all
}
