package prompt_test

import (
	"fmt"
	"strings"

	"github.com/trailshed/trailshed/internal/prompt"
)

func ExampleNewPart() {
	fmt.Println(prompt.NewPart(" 5C1E07a2"))
	fmt.Println(prompt.NewPart(""))
	_, ok := prompt.NewPart(strings.Repeat("5c", 40))
	fmt.Println(ok)
	// Output:
	// 5c1e07a2 true
	//  false
	// false
}
