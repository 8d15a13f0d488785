package scale

import (
	"fmt"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	membersPerGroup = 6 // a primary and five replicas: 3,500 groups at 21,000 members
	memberWire      = "mysql"
	databaseKind    = "std-4core"
)

// MemberEntry returns the given revision of the inventory entry of database number i: the address changes with
// each.
func MemberEntry(i, revision int) *pb.Entry {
	address := fmt.Sprintf("10.%d.%d.%d:%d", i>>16&0xff, i>>8&0xff, i&0xff, 6000+revision%1000)
	return &pb.Entry{Id: MemberID(i), Address: address, Site: memberSite(i), Group: int32(i / membersPerGroup), Kind: databaseKind,
		State: "in_service", Wire: memberWire}
}

// MemberID returns the ID of database number i.
func MemberID(i int) string { return fmt.Sprintf("db-%07d", i) }

// memberSite returns the zone of database number i: the members of a group are in different zones.
func memberSite(i int) string { return Zones()[i%len(Zones())].Name }

// standinEntry returns the inventory entry of a stand-in database.
func standinEntry(d Database) *pb.Entry {
	return &pb.Entry{Id: d.ID, Address: d.Address, Site: zones[0].Name, Group: d.Group, Kind: databaseKind, State: "in_service", Wire: "postgres"}
}
