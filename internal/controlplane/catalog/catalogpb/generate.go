// Package catalogpb is generated from catalog.proto.
package catalogpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative catalog.proto
