package fleet

import (
	"strings"
	"testing"
)

func TestDeploymentsHaveProfilesAndRoutes(t *testing.T) {
	for _, name := range Deployments() {
		deployment, err := LoadDeployment(name)
		if err != nil {
			t.Fatal(err)
		}
		profile, err := deployment.Profile()
		if err != nil {
			t.Fatal(err)
		}
		if len(profile.Homes) == 0 || len(profile.Regions) != 3 || profile.ClientPrefix == "" {
			t.Errorf("%s: incomplete profile %+v", name, profile)
		}
		changed, err := deployment.WithRoute("extra")
		if err != nil || !strings.Contains(changed, "extra") {
			t.Errorf("%s: the route was not added (error %v)", name, err)
		}
	}
}

func TestLoadDeploymentRejectsUnknownNames(t *testing.T) {
	if _, err := LoadDeployment("nowhere"); err == nil || !strings.Contains(err.Error(), `"nowhere"`) {
		t.Errorf("error %v, want one that quotes the unknown name", err)
	}
}

// TestSpareZoneIsNotTheOnlyHome checks that every home has a region outside of the spare
// zone.
func TestSpareZoneIsNotTheOnlyHome(t *testing.T) {
	for _, name := range Deployments() {
		deployment, err := LoadDeployment(name)
		if err != nil {
			t.Fatal(err)
		}
		spare := deployment.SpareZone()
		for home, regions := range deployment.homes() {
			if len(regions) == 1 && regions[0]+"-1" == spare {
				t.Errorf("%s: the spare zone %s is the only home of %s", name, spare, home)
			}
		}
	}
}

func TestAddressBlocksAreExclusive(t *testing.T) {
	first, err := reserveBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer first.release()
	second, err := reserveBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer second.release()
	addresses := map[string]bool{}
	for _, block := range []*addressBlock{first, second} {
		for range 3 {
			address, err := block.allocate()
			if err != nil {
				t.Fatal(err)
			}
			if addresses[address] {
				t.Errorf("%s was allocated twice", address)
			}
			addresses[address] = true
		}
	}
}
