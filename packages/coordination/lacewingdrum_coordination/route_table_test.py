import collections

from lacewingdrum_coordination import route_table
from lacewingdrum_state import configurations, ids

LIMITS = configurations.CallerLimits(1_000, 1_000, 1_000, 1_000)


def route(prefix: str, host: str = "a.example", **changes) -> configurations.Route:
    fields = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "kind": configurations.RouteKind.IDEMPOTENT,
        "shares": (configurations.ServiceShare(ids.ServiceName("s"), 1.0),),
        "timeout_ms": 1_000,
        "objective_ms": 100,
        "pause_objective_ms": 0,
        "max_attempts": 2,
        "priority": 1,
        "is_public": False,
        "is_resumable": False,
    }
    return configurations.Route(**{**fields, **changes})


def table(*routes, customers=None) -> route_table.RouteTable:
    return route_table.RouteTable(
        configurations.Configuration(
            version=3,
            routes=routes,
            services={},
            limits=LIMITS,
            customers=customers or {},
            has_customers=customers is not None,
        )
    )


def test_find_returns_the_longest_prefix_of_the_host():
    routes = table(route("/"), route("/a/"), route("/a/b/"), route("/a/", "b.example"))
    assert routes.find("a.example", "/a/b/c").path_prefix == "/a/b/"
    assert routes.find("A.Example:8080", "/a/bc").path_prefix == "/a/"
    assert routes.find("a.example", "/a").path_prefix == "/"
    assert routes.find("b.example", "/x") is None
    assert routes.find("c.example", "/a/") is None


def test_customer_credential_is_required_except_on_public_routes():
    alice = configurations.Customer(ids.CustomerId("alice"), None)
    routes = table(route("/a/"), route("/p/", is_public=True), customers={"key": alice})
    assert routes.allow("a.example", "/a/", "key").ok_value.customer == alice
    refused = routes.allow("a.example", "/a/", "other")
    assert refused.err_value is route_table.RouteFault.NO_CUSTOMER
    assert routes.allow("a.example", "/p/", "").ok_value.customer is None
    assert routes.allow("a.example", "/p/", "key").ok_value.customer == alice
    unknown = routes.allow("a.example", "/x/", "key")
    assert unknown.err_value is route_table.RouteFault.NO_ROUTE


def test_without_customers_no_credential_is_needed():
    allowed = table(route("/a/")).allow("a.example", "/a/", "").ok_value
    assert allowed.customer is None and allowed.version == 3


def test_shares_split_requests_and_pick_the_same_service_again():
    split = route(
        "/a/",
        shares=(
            configurations.ServiceShare(ids.ServiceName("old"), 90),
            configurations.ServiceShare(ids.ServiceName("new"), 10),
            configurations.ServiceShare(ids.ServiceName("off"), 0),
        ),
    )
    picked = collections.Counter(
        route_table.pick_service(split, f"r{number}") for number in range(4_000)
    )
    assert 300 < picked["new"] < 500 and not picked["off"]
    assert route_table.pick_service(split, "r1") == route_table.pick_service(
        split, "r1"
    )
