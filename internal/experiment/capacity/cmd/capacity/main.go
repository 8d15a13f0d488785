// Command capacity generates the tables and plots of docs/CAPACITY.md from the runs in docs/capacity. Run it in the
// module's root directory.
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
