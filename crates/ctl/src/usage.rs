//! Text of `--help`.

/// Text that `--help` prints; a test requires `docs/operators/commands.md` to contain it.
pub const TEXT: &str = "\
tarragonctl: change and watch a fleet of tarragonthread routers

Usage: tarragonctl [OPTIONS] COMMAND

Services, places and backend servers:
  service list                 list the services
  service show NAME            show one service as JSON
  service create FILE          create the service that FILE describes
  service change FILE          replace the service of the name in FILE
  service remove NAME          remove a service
  place list                   list the places
  place add NAME REGION        add a place
  place remove NAME            remove a place that no backend server uses
  backend list [SERVICE]       list backend servers
  backend add SERVICE NAME ADDR PLACE SHARD
                               add a backend server to a shard
  backend drain SERVICE NAME   give a backend server no new work
  backend undrain SERVICE NAME take a backend server back into service
  backend lost SERVICE NAME    declare its process gone for good: be sure of it
  backend remove SERVICE NAME  remove a backend server that drains or is lost

The whole configuration:
  preset show                  show the presets and the one in force
  preset choose NAME           choose ordinary, peak or maintenance
  config show                  show the configuration as JSON
  config check FILE            check a file; needs no store
  config apply FILE            replace the configuration by FILE

The fleet:
  status                       show the fleet at a glance
  host list                    list the hosts
  host lost NAME               declare a host's router gone for good: be sure of it
  owner SERVICE KEY            show who owns a key
  explain SERVICE KEY          show who owns a key and why
  timeline                     show the events of all hosts in causal order

Options:
  --store ADDR      address of the platform's object API (or TARRAGON_STORE)
  --json            print JSON
  --timeout SECONDS longest wait for an effect (default 10)
  --retry           try again when another operator's change came first
  --key K --host H --request R --shard S --kind K
                    timeline: show only these events
  --follow          timeline: wait for more events
  -h, --help        print this help
  -V, --version     print the version

Exit codes: 0 done; 1 failed; 2 bad command line or file; 3 accepted, but not seen in
force everywhere in time; 4 another operator's change came first; 5 the fate of the
change is unknown.
";
