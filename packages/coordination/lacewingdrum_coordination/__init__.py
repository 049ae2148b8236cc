"""Decision logic without I/O: maps data and time to actions.

The daemon ``lacewingdrumd`` and the gateway choose runners in different ways.
The daemon uses ``routing`` with ``selection``, ``pools``, ``estimates`` and
``runner_projections``. The gateway uses ``engine_choice`` with
``engine_costs``, ``engine_load`` and ``engine_work_registry``, and
``service_choice`` for plain services.
"""
