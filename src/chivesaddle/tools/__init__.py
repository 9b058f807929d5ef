"""Development tools: a local fleet, demo, fault matrix, benchmarks and log reports."""
