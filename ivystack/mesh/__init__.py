"""Long-lived authenticated links between proxies. No client request ever waits for a link."""
