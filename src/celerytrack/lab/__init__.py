"""Models and experiments: the real deciding code in modelled time."""
