"""Makes the manifest of a small deployment, and requests for it."""

MODEL = "daka510000"
ENGINES = "huvo11a"
HOST = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"
OTHER_KEY = "fqasnmgkcuyj8pjbvk9m"
TENANT = "sese880"
OTHER_TENANT = "lumi204"
CACHE_STORE = "wuno96b"


def make_manifest(
    cache_store: str = "", version: int = 7, is_isolated: bool = False
) -> dict[str, object]:
    """Returns a manifest with a service of model servers and two tenants.

    Args:
        cache_store: ``IP:PORT`` of the store of kept KV cache, if there is one.
        version: Version of the manifest.
        is_isolated: Whether the first tenant is isolated.
    """
    services: list[dict[str, object]] = [
        {
            "name": ENGINES,
            "health_path": "/health",
            "max_conns": 210,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 24,
                "kv_capacity_tokens": 130072,
                "kv_token_bytes": 18432,
                "link_mbps": 370000.0,
                "moves": True,
                "backups": True,
                "stride": 8,
                "max_in_flight": 12,
                "pin_ms": 4000.0,
                "hold_ms": 2000.0,
                "handle_s": 5.0,
                "models": [{"name": MODEL}],
            },
        }
    ]
    if cache_store:
        services.append(
            {
                "name": CACHE_STORE,
                "kv_store": cache_store,
                "zone": "pa-nord",
                "kv_capacity_tokens": 3981417,
                "link_mbps": 42000.0,
                "max_in_flight": 12,
            }
        )
    return {
        "version": version,
        "routes": [
            _make_route("r-1", "/lepu270/", 6000, 1, is_resumable=False),
            _make_route("r-2", "/xapu221/", 3000, 2, is_resumable=True),
        ],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            _make_tenant(TENANT, KEY, is_isolated),
            _make_tenant(OTHER_TENANT, OTHER_KEY, is_isolated=False),
        ],
    }


def _make_route(
    name: str, prefix: str, timeout_ms: int, attempts: int, is_resumable: bool
) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "priority": 1,
        "service": ENGINES,
        "max_attempts": attempts,
        "public": False,
        "sticky": True,
        "resumable": is_resumable,
        "gap_aim_ms": 500,
    }


def _make_tenant(name: str, key: str, is_isolated: bool) -> dict[str, object]:
    return {
        "name": name,
        "api_keys": [key],
        "priority": 1,
        "isolated": is_isolated,
    }


def make_headers(
    request_id: str, parts: str, deadline_ms: int, key: str = KEY
) -> dict[str, str]:
    """Returns the headers of a consumer's request to a model."""
    return {
        "host": HOST,
        "x-sardinewharf-request-id": request_id,
        "x-sardinewharf-model": MODEL,
        "x-sardinewharf-token-usage": "1460,80",
        "x-sardinewharf-prompt-prefix": parts,
        "x-sardinewharf-deadline-ms": str(deadline_ms),
        "authorization": f"Token {key}",
    }
