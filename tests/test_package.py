import chivesaddle


def test_package_has_a_docstring():
    assert chivesaddle.__doc__
