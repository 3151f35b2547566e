"""Choice of an upstream and judgement of attempts."""
