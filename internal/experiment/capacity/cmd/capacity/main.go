// Command capacity makes docs/CAPACITY.md's tables and plots of the runs in docs/capacity. It is run from the module's
// root.
package main

import (
	"fmt"
	"os"

	"aspenshed/internal/experiment/capacity"
)

func main() {
	if err := capacity.Write("."); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
