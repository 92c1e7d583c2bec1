"""How long streams take, by route, to tell whether one can end before its entry does.

Load pattern: an entry that is to stop is still sent requests for some seconds, until the load balancer has noticed.
Most streams end in the grace period; one that cannot is better sent to another entry at once than cut.
"""

#: Weight of the newest stream in the mean.
SMOOTHING = 0.1
#: Limit of the routes that are remembered; those of the latest streams are.
MAX_ROUTES = 4096


class RunTimes:
    """Mean duration of the streams of each route, and of each token that they were expected to have.

    Examples
    --------
    >>> run_times = RunTimes()
    >>> run_times.record('drafts', 100, 2.0)
    >>> run_times.expect('drafts', 400), run_times.expect('drafts', 0), run_times.expect('other', 400)
    (8.0, 2.0, 0.0)
    """

    def __init__(self) -> None:
        """Know of no streams."""
        # Seconds a stream and seconds a token, 0 if no stream said how many it would have.
        self.by_route: dict[str, tuple[float, float]] = {}

    def record(self, route: str, tokens: int, seconds: float) -> None:
        """Record a stream that was answered.

        Parameters
        ----------
        route : str
            Name of its route.
        tokens : int
            Number of tokens that its caller expected; 0 if it did not say.
        seconds : float
            Time from the arrival of the request to the end of the answer.
        """
        mean, token_mean = self.by_route.pop(route, (seconds, 0.0))
        if tokens:
            token_seconds = seconds / tokens
            token_mean += SMOOTHING * (token_seconds - token_mean) if token_mean else token_seconds
        self.by_route[route] = (mean + SMOOTHING * (seconds - mean), token_mean)
        if len(self.by_route) > MAX_ROUTES:
            self.by_route.pop(next(iter(self.by_route)))

    def expect(self, route: str, tokens: int) -> float:
        """Return the seconds that a stream is expected to take, 0 if none of its route is known."""
        mean, token_mean = self.by_route.get(route, (0.0, 0.0))
        return tokens * token_mean if tokens and token_mean else mean
