package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"aspenshed/internal/config"
	"aspenshed/internal/inventory"
)

func newInventory(o *options) *cobra.Command {
	c := &cobra.Command{Use: "inventory", Short: "Check, import and export lists of members", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing command: check, import or export") }}
	front := ""
	newCommand := func(use, short string, paths func(file, inventoryFile string) (from, to string)) *cobra.Command {
		x := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			inventoryFile := ""
			if use != "check" {
				d, err := config.ReadDeploy(o.deploy)
				if err != nil {
					return err
				}
				if inventoryFile = inventoryPath(d, front, o.deploy); inventoryFile == "" {
					return fmt.Errorf("field %s.inventory: missing", front)
				}
			}
			from, to := paths(args[0], inventoryFile)
			members, err := inventory.Read(from)
			if err == nil && to != "" {
				err = inventory.Write(to, members)
			}
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %d members\n", from, len(members))
			}
			return err
		}}
		x.Flags().StringVar(&front, "front", "mysql", "the front end whose inventory it is: mysql or postgres")
		return x
	}
	c.AddCommand(newCommand("check", "Check a file", func(file, _ string) (string, string) { return file, "" }),
		newCommand("import", "Replace the configured inventory by a file; a running daemon loads it at SIGHUP", func(file, inventoryFile string) (string, string) { return file, inventoryFile }),
		newCommand("export", "Write the inventory to a file", func(file, inventoryFile string) (string, string) { return inventoryFile, file }))
	return c
}

func inventoryPath(d *config.Deploy, front, deployPath string) string {
	if front == "postgres" {
		return d.Postgres.InventoryPath(deployPath)
	}
	return d.MySQL.InventoryPath(deployPath)
}

// checkInventories reads the inventories of the enabled front ends.
func checkInventories(d *config.Deploy) (err error) {
	for _, s := range []config.Front{d.MySQL.Front, d.Postgres.Front} {
		if s.Listen != "" && s.Inventory != "" {
			_, e := inventory.Read(s.Inventory)
			err = errors.Join(err, e)
		}
	}
	return err
}
