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
		RunE: func(*cobra.Command, []string) error { return errors.New("one of check, import, export is expected") }}
	front := ""
	move := func(use, short string, f func(file, place string) (from, to string)) *cobra.Command {
		x := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			place := ""
			if use != "check" {
				d, err := config.ReadDeploy(o.deploy)
				if err != nil {
					return err
				}
				if place = inventoryPath(d, front, o.deploy); place == "" {
					return fmt.Errorf("field %s.inventory: missing", front)
				}
			}
			from, to := f(args[0], place)
			members, err := inventory.Read(from)
			if err == nil && to != "" {
				err = inventory.Write(to, members)
			}
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %d members\n", from, len(members))
			}
			return err
		}}
		x.Flags().StringVar(&front, "front", "mysql", "whose inventory: mysql or postgres")
		return x
	}
	c.AddCommand(move("check", "Is this file good?", func(file, _ string) (string, string) { return file, "" }),
		move("import", "Put a file where the configuration says; a running daemon takes it at SIGHUP", func(file, place string) (string, string) { return file, place }),
		move("export", "Write the inventory to a file", func(file, place string) (string, string) { return place, file }))
	return c
}

func inventoryPath(d *config.Deploy, front, deployPath string) string {
	if front == "postgres" {
		return d.Postgres.InventoryPath(deployPath)
	}
	return d.MySQL.InventoryPath(deployPath)
}

// checkInventories reads what the fronts that are on would read.
func checkInventories(d *config.Deploy) (err error) {
	for _, s := range []config.Front{d.MySQL.Front, d.Postgres.Front} {
		if s.Listen != "" && s.Inventory != "" {
			_, e := inventory.Read(s.Inventory)
			err = errors.Join(err, e)
		}
	}
	return err
}
